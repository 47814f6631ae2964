"""A soak of real sidecar processes on loopback under planned work: stops, reloads and changes.

Each run is drawn from a seed. Callers and targets record what they see, and the record is checked
against the rules for planned work.
"""

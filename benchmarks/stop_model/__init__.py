"""Model of planned stops on virtual time: who holds how much of which response when.

The links, the chunks' turns, windows, pace, admission by link and the writing to callers are the
product's own; nodes, targets, callers, uplinks and the steps of a stop are modelled, with the
constants of the sidecar's stop.
"""

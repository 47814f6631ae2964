"""Rollouts on the platform's store: their state at each node, their driver and their records."""

"""Model of call outcomes during a rollout, and the rollout policies compared on it."""

"""Calls: the callers' server, dispatch to targets, and admission control at each target."""

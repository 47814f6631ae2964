"""The store's records: how they reach this node, and what it registers itself."""

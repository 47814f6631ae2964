"""Model of calls to a new version under an exposure limit, and the methods compared on it."""

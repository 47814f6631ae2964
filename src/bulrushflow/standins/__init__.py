"""Stand-ins for the platform's log and for targets, and the load tool; not for production."""

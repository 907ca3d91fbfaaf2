"""Servers as one node sees them: their state, what is learnt of them, and which one is chosen."""

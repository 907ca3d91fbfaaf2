"""Servers from the view of one node: their state, which of them are eligible, and which one is selected."""

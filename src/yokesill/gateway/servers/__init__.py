"""Servers as one node knows them: their state, which of them are eligible, and which one is selected."""

"""Stand-ins for the outside systems: back ends, the platform's object API and its machine list.

One server model serves both ways: over HTTP in real time, and in virtual time in tests (`tests/simulation/`).
"""

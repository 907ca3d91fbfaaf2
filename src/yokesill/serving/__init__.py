"""One gateway node over real I/O: its settings, what drives the router, its life cycle.

Callers, servers, the registry and coordinators each have a package of their own.
"""

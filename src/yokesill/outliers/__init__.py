"""Cluster-wide detection of slow and failing servers: nodes share observations and avoid suspected servers.

Sans I/O: this package must not touch sockets, clocks or the router's state.
"""

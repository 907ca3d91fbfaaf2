"""Cluster-wide detection and quarantine of requests that crash the servers that run them.

This package is independent of the router and of the transport of its messages.
"""

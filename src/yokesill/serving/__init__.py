"""Drives the gateway's decisions over real I/O: callers in, servers out, the registry followed.

Nothing here decides where a request goes; ``gateway`` does.
"""

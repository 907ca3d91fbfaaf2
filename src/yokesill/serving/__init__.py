"""Runs one gateway node over real I/O: its settings, the driver of its router, and its life cycle.

Connections to callers, servers, the registry and coordinators are in packages of their own.
"""

"""Requests that end the servers that run them: found by what all nodes saw, and kept from servers.

Nothing here knows the router or what carries messages.
"""

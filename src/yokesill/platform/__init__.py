"""Translates between the users' platform and the gateway; decides nothing and keeps nothing.

The only place that knows the platform's headers, fields and kinds.
"""

"""The adapter between the users' platform and the gateway: it makes no decisions and keeps no state.

The platform's headers, fields and kinds are named only in this package.
"""

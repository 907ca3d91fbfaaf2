"""The way to servers: connections, one request at a time on each, and what came back with a verdict."""

"""Back ends: connection pools, the wire format, health checks and subsetting."""

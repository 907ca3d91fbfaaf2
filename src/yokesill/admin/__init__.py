"""The operators' HTTP API, with one controller per resource."""

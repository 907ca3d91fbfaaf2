"""The operators' HTTP API: a controller a resource."""

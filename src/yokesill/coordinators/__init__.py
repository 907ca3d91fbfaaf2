"""Forwards wide requests to a zone's coordinators, its strongest nodes, and serves those of other nodes."""

"""Hands wide requests to the strongest nodes of the zone, and gathers those of others."""

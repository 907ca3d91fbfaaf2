"""Forwards wide requests to the strongest nodes of a zone, its coordinators; serves those of other nodes."""

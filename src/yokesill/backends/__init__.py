"""Back ends: connection sets, the wire to them, and which of them this node uses."""

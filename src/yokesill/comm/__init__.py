"""Communication between nodes: transports with a common base class, frame sealing and HTTP."""

"""Client of the platform's object API, which stores the configuration and orders its changes."""

"""The client side towards servers: connections, attempts, and the verdict on each attempt's outcome."""

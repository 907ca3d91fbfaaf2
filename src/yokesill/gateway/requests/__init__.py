"""The life cycle of a request; each rule has its own module, and ``request`` applies them."""

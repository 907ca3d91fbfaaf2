"""One request from its arrival to its final answer; each rule has a module, ``request`` calls them."""

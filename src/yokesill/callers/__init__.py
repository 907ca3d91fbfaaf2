"""The callers' side: sockets, the listener, and an application that reads requests whole and answers them."""

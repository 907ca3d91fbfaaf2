"""How nodes reach each other: one file a transport behind one base, and one codec."""

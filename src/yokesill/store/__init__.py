"""The platform's object API: where configuration is kept and committed."""

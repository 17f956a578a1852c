"""Small stand-ins for what is outside: the platform and the targets. Never used in production."""

"""Process settings: read from TOML and validated before any port is opened."""

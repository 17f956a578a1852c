"""Settings of the processes: TOML, validated before a port is opened."""

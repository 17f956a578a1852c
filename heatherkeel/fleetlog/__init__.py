"""The product's own log, for processes without the users' platform: client, writer, follower."""

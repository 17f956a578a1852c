"""Client, writer and follower of the project's own log, used without the users' platform."""

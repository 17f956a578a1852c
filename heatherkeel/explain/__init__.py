"""What the logs of several processes say of one job or request, in one timeline."""

"""What a relayed token and a request cost a daemon."""

"""Stand-ins for the systems that eelgrassknot connects to."""

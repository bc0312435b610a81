"""Small fakes of the systems that the product is connected to."""

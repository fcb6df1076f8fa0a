"""Small fakes of the outside systems, and the load tool."""

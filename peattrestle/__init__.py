"""peattrestle: a call controller for a network of exchanges."""

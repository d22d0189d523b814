"""The fronts: each translates a client protocol to requests of the engine, and its answers back."""

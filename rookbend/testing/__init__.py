"""The laboratory: stand-ins of outside systems, made from their public specifications, that behave and
misbehave as they are told. Tests and measurements share them; the director never imports this package."""

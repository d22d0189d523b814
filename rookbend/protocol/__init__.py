"""Pure state machines: fed bytes, they give events and bytes. They know no socket."""

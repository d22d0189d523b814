"""Every decision of the router: events in, actions out (interface.py). `router` is the way in."""

from rookbend.routing.router import Router as Router

"""`python -m rookbend`: serves, unless a sub-command says otherwise."""

import sys

from rookbend.cli import main

sys.exit(main())

#!/bin/bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standin/run-case.sh" "$here" replaced_then_lost

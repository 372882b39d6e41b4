#!/bin/sh
# A client submits work of many steps that can never be done, and the nodes hang by turns; 85 s.
# TROUBLE=0: without this client. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
directory=$(mktemp -d) || exit 2
end() {
    # All nodes have been ended by then, unless the program was ended itself.
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$directory/pids"
    rm -rf "$directory"
}
: >"$directory/pids"
trap end EXIT
trap 'exit 2' INT TERM
target/review-3/release/stand-in-3 steps "$directory" review/13/record.txt

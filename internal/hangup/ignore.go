package hangup

/*
#include <signal.h>
#include <string.h>

// The loader calls this before the Go runtime starts.
__attribute__((constructor)) static void ignoreHangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "gateway") == 0)
		signal(SIGHUP, SIG_IGN);
}
*/
import "C"

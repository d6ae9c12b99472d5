#include "cli.h"
#include "os.h"

int
main(int argc, char **argv)
{
	/* A signal during the start of a node waits until the node can handle it. */
	os_signals_block(NULL);
	return cli_main(argc, argv);
}

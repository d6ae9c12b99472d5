#include "cli.h"

int
main(int argc, char **argv)
{
	return cli_main(argc, argv);
}

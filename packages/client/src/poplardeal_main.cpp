#include <iostream>
#include <poplardeal/client/client.h>

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(poplardeal::runClient(words, std::cout, std::cerr));
}

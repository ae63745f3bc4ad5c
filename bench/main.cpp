/** @file main.cpp placeholder */
int main()
{
    return 1;
}

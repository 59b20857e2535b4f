// Shared main() of the CppUnit test programs. With arguments, runs only the named tests.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

#include "libbase/log.h"

int main(int argc, char** argv) {
  camphorhoist::Findings findings;
  camphorhoist::ConfigureLogging("error", "test", "log level", &findings);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  if (argc == 1) runner.run(controller);
  for (int i = 1; i < argc; ++i) runner.run(controller, argv[i]);

  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  // A program that ran no test has not passed.
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}

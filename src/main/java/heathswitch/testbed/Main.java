package heathswitch.testbed;

import heathswitch.testbed.demo.Demo;
import heathswitch.testbed.explore.ExplorerMeasurement;
import heathswitch.testbed.maintenance.WorkMeasurement;
import heathswitch.testbed.measure.GatewayMeasurement;
import heathswitch.testbed.measure.GrpcMeasurement;
import heathswitch.testbed.measure.Measurement;
import heathswitch.testbed.measure.MembersMeasurement;
import heathswitch.testbed.platform.FailingUpstreamsMeasurement;
import heathswitch.testbed.platform.SoakMeasurement;
import heathswitch.testbed.subsetting.SubsetsMeasurement;
import java.util.List;
import java.util.Map;

/** Command line of the test bed: {@code demo} and {@code measure NAME [--short]}. */
public final class Main {
  private static final Map<String, Measurement> MEASUREMENTS =
      Map.of(
          "members",
          new MembersMeasurement(),
          "grpc",
          new GrpcMeasurement(),
          "gateway",
          new GatewayMeasurement(),
          "attempts",
          new ExplorerMeasurement(),
          "work",
          new WorkMeasurement(),
          "subsets",
          new SubsetsMeasurement(),
          "soak",
          new SoakMeasurement(),
          "failures",
          new FailingUpstreamsMeasurement());

  private Main() {}

  /** Runs a command and exits with its status. */
  public static void main(String[] args) throws Exception {
    System.exit(run(List.of(args)));
  }

  private static int run(List<String> args) throws Exception {
    if (args.size() >= 1 && args.get(0).equals("demo")) {
      return Demo.run(args.subList(1, args.size()));
    }
    boolean isShort = args.size() == 3 && args.get(2).equals("--short");
    if (args.size() >= 2 && args.get(0).equals("measure") && (args.size() == 2 || isShort)) {
      Measurement measurement = MEASUREMENTS.get(args.get(1));
      if (measurement != null) {
        System.out.println(measurement.run(isShort).json());
        return 0;
      }
      System.err.println(
          "unknown measurement " + args.get(1) + "; known measurements: " + MEASUREMENTS.keySet());
      return 2;
    }
    System.err.println("usage: heathswitch demo [--seconds N] | measure NAME [--short]");
    return 2;
  }
}
